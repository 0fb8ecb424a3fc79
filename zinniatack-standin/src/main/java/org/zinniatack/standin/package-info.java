/**
 * Small stand-ins for the systems around: a model engine, a plain service and the
 * platform with its weight store. The first run and the tests use them.
 */
@NullMarked
package org.zinniatack.standin;

import org.jspecify.annotations.NullMarked;
