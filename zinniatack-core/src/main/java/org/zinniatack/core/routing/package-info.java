/**
 * Routers, which choose the target of a request.
 */
@NullMarked
package org.zinniatack.core.routing;

import org.jspecify.annotations.NullMarked;
