package org.zinniatack.direct.http;

/**
 * Answers the requests of a listener.
 */
@FunctionalInterface
public interface ExchangeHandler {

	/**
	 * Handles a request, on the listener's event loop, which it must not block.
	 * @param exchange the request and the way to answer it
	 */
	void handle(Exchange exchange);

}
