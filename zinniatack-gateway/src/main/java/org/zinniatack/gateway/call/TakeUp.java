package org.zinniatack.gateway.call;

/**
 * A caller's statement of the stream that it takes up in a new attempt.
 *
 * @param attemptId the id of the attempt that brought the first event, empty if the
 * caller does not name it
 * @param lastEventId the id of the last event that the caller has
 */
public record TakeUp(String attemptId, String lastEventId) {
}
