/**
 * Numbered result codes and the checked exception that carries them.
 */
@NullMarked
package org.zinniatack.core.result;

import org.jspecify.annotations.NullMarked;
