/**
 * The HTTP server for callers and the HTTP client for targets, both on one event loop.
 */
@NullMarked
package org.zinniatack.gateway.http;

import org.jspecify.annotations.NullMarked;
