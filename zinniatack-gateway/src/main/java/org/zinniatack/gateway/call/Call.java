package org.zinniatack.gateway.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.key.Sha256Digest;
import org.zinniatack.core.state.RequestIdentity;
import org.zinniatack.core.table.Route;
import org.zinniatack.core.table.RouteKind;

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
 * @param key the digest of the caller's API key, or null without one
 * @param rank its rank among calls that wait for a target, 0 for the most urgent
 * @param takeUp the stream that the caller takes up, or null if the call begins anew
 */
public record Call(String requestId, Route route, @Nullable String customer, HttpMethod method, String uri,
		HttpHeaders headers, byte[] body, long deadlineMs, @Nullable Sha256Digest key, int rank,
		@Nullable TakeUp takeUp) {

	/**
	 * Creates a call with the rank of its route.
	 * @param requestId the id of this attempt by the caller
	 * @param route the route that the request matched
	 * @param customer the customer, or null if the route needs no API key
	 * @param method the HTTP method
	 * @param uri the path with its query
	 * @param headers the headers to forward
	 * @param body the request body
	 * @param deadlineMs how long the caller waits for a response, in milliseconds
	 * @param key the digest of the caller's API key, or null without one
	 */
	public Call(String requestId, Route route, @Nullable String customer, HttpMethod method, String uri,
			HttpHeaders headers, byte[] body, long deadlineMs, @Nullable Sha256Digest key) {
		this(requestId, route, customer, method, uri, headers, body, deadlineMs, key, route.priority(), null);
	}

	/**
	 * Creates a call without an API key.
	 * @param requestId the id of this attempt by the caller
	 * @param route the route that the request matched
	 * @param customer the customer, or null if the route needs no API key
	 * @param method the HTTP method
	 * @param uri the path with its query
	 * @param headers the headers to forward
	 * @param body the request body
	 * @param deadlineMs how long the caller waits for a response, in milliseconds
	 */
	public Call(String requestId, Route route, @Nullable String customer, HttpMethod method, String uri,
			HttpHeaders headers, byte[] body, long deadlineMs) {
		this(requestId, route, customer, method, uri, headers, body, deadlineMs, null);
	}

	/** Returns whether the call goes on with a stream that its caller has in part. */
	boolean takesUpStream() {
		return this.takeUp != null && this.route.kind() == RouteKind.STREAM && this.route.resumable();
	}

	/**
	 * Returns what makes another request the same as this one.
	 * @return the identity
	 */
	public RequestIdentity identity() {
		return RequestIdentity.of(this.method.name(), this.headers.get(HttpHeaderNames.HOST, ""), this.uri, this.body,
				this.key);
	}

}
