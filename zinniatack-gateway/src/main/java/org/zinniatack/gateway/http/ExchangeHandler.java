package org.zinniatack.gateway.http;

/**
 * Handles the requests that an {@link HttpListener} receives.
 */
@FunctionalInterface
public interface ExchangeHandler {

	/**
	 * Handles a request on the listener's event loop, which it must not block.
	 * @param exchange the request and the means to respond to it
	 */
	void handle(Exchange exchange);

}
