/** @file gossip.h Public header of gossip: membership over UDP in a thread of its own. */
#ifndef POLLENSTALL_GOSSIP_GOSSIP_H
#define POLLENSTALL_GOSSIP_GOSSIP_H

#include "gossip/gossip_codec_func.h"   // IWYU pragma: export
#include "gossip/gossip_service_base.h" // IWYU pragma: export
#include "gossip/gossip_type.h"         // IWYU pragma: export

#endif // POLLENSTALL_GOSSIP_GOSSIP_H
