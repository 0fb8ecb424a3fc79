package org.zinniatack.direct.call;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.table.Route;

/**
 * A request that a target is to answer.
 *
 * @param requestId the id of this attempt of the caller
 * @param route the route
 * @param customer the customer, or null on open routes
 * @param method the method
 * @param uri the path with its query
 * @param headers the headers to pass on
 * @param body the body
 * @param deadlineMs the time that the caller waits, in milliseconds
 */
public record Call(String requestId, Route route, @Nullable String customer, HttpMethod method, String uri,
		HttpHeaders headers, byte[] body, long deadlineMs) {
}
