/**
 * Configuration records, their schema versions and the immutable view that processes act
 * on.
 */
@NullMarked
package org.zinniatack.core.config;

import org.jspecify.annotations.NullMarked;
