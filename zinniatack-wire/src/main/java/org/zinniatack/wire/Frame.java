package org.zinniatack.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * One frame on a connection.
 *
 * @param exchangeId the exchange that the message belongs to, 0 for a notice without an
 * answer; the side that opened the connection uses odd numbers
 * @param last true if the sender sends nothing more in the exchange
 * @param message the message
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({ "exchangeId", "last", "message" })
record Frame(long exchangeId, boolean last, Message message) {
}
