/* Options of TCP sockets. Failures are ignored: the connection works without them. */
#pragma once

/* Sends small writes at once instead of waiting for the peer's delayed ACK. */
void dp_socket_disable_nagle (int fd);

/* Closes the connection with an error when its peer acknowledges nothing for about 4 s while
 * the connection is idle. TCP_USER_TIMEOUT must not be set on it, since that would decide
 * instead. */
void dp_socket_enable_keepalive (int fd);

/* Resets the connection when it is closed, and discards what the peer has not acknowledged: the
 * peer sees neither an orderly end nor waiting bytes first. */
void dp_socket_reset_on_close (int fd);
