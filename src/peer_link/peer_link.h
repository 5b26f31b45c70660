/** @file peer_link.h Public header of peer_link: framed TCP connections between processes. */
#ifndef POLLENSTALL_PEER_LINK_PEER_LINK_H
#define POLLENSTALL_PEER_LINK_PEER_LINK_H

#include "peer_link/framed_connection_base.h" // IWYU pragma: export
#include "peer_link/framed_listener_base.h"   // IWYU pragma: export
#include "peer_link/peer_link_base.h"         // IWYU pragma: export
#include "peer_link/peer_link_type.h"         // IWYU pragma: export

#endif // POLLENSTALL_PEER_LINK_PEER_LINK_H
