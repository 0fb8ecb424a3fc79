package org.zinniatack.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.table.Route;

/**
 * A caller's request to be dispatched to a target.
 *
 * @param requestId the id of this attempt by the caller
 * @param route the route that the request matched
 * @param customer the customer, or null if the route needs no API key
 * @param method the HTTP method
 * @param uri the path with its query
 * @param headers the headers to forward
 * @param body the request body
 * @param deadlineMs how long the caller waits for a response, in milliseconds
 */
public record Call(String requestId, Route route, @Nullable String customer, HttpMethod method, String uri,
		HttpHeaders headers, byte[] body, long deadlineMs) {
}
