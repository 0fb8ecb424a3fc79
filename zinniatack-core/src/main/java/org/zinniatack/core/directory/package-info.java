/**
 * Directory of the targets that announce themselves.
 */
@NullMarked
package org.zinniatack.core.directory;

import org.jspecify.annotations.NullMarked;
