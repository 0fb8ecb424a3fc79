package org.zinniatack.gateway.call;

/**
 * What a caller says of a stream that it takes up in a new attempt.
 *
 * @param attemptId the id of the attempt that brought the first event, empty if the
 * caller does not name it
 * @param lastEventId the id of the last event that the caller has
 */
public record TakeUp(String attemptId, String lastEventId) {
}
