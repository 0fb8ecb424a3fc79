package org.zinniatack.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * The unit of transfer on a connection: one message and the exchange that it belongs to.
 *
 * @param exchangeId the id of the exchange, 0 for a notification; exchanges opened by the
 * side that opened the connection have odd ids, the others even ones
 * @param last true if this is the sender's last message in the exchange
 * @param message the message
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({ "exchangeId", "last", "message" })
record Frame(long exchangeId, boolean last, Message message) {
}
