/**
 * How many targets each pool needs and where they are ordered.
 */
@NullMarked
package org.zinniatack.core.target;

import org.jspecify.annotations.NullMarked;
