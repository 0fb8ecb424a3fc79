/**
 * Which target gets a request.
 */
@NullMarked
package org.zinniatack.core.routing;

import org.jspecify.annotations.NullMarked;
