/**
 * Configuration records, their schema versions and the immutable configuration built from
 * them.
 */
@NullMarked
package org.zinniatack.core.config;

import org.jspecify.annotations.NullMarked;
