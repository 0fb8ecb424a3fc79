/**
 * The HTTP server for callers and the HTTP client for targets, both on one event loop.
 */
@NullMarked
package org.zinniatack.direct.http;

import org.jspecify.annotations.NullMarked;
