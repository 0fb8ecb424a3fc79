package org.zinniatack.direct.http;

/**
 * Why a request to a target got no whole answer.
 *
 * @param mayHaveRun false if no byte of the request can have reached the target
 * @param detail what happened
 */
public record RequestFailure(boolean mayHaveRun, String detail) {
}
