/**
 * An HTTP listener and a client of targets, both on one event loop.
 */
@NullMarked
package org.zinniatack.direct.http;

import org.jspecify.annotations.NullMarked;
