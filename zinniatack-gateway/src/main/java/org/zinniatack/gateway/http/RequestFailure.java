package org.zinniatack.gateway.http;

/**
 * The reason for which a request to a target got no complete response.
 *
 * @param mayHaveRun false if no byte of the request can have reached the target
 * @param detail a description of the failure
 */
public record RequestFailure(boolean mayHaveRun, String detail) {
}
