/**
 * Where streams began, so that only targets that can continue them do.
 */
@NullMarked
package org.zinniatack.core.stream;

import org.jspecify.annotations.NullMarked;
