/** @file message_feed.h Public header of message_feed: HTTP messages from bytes that arrive in any
 * pieces. */
#ifndef POLLENSTALL_MESSAGE_FEED_MESSAGE_FEED_H
#define POLLENSTALL_MESSAGE_FEED_MESSAGE_FEED_H

#include "message_feed/answer_feed_base.h"  // IWYU pragma: export
#include "message_feed/message_feed_base.h" // IWYU pragma: export

#endif // POLLENSTALL_MESSAGE_FEED_MESSAGE_FEED_H
