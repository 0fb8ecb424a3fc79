/**
 * Stand-ins for the external systems: a model engine, a plain service, and the platform
 * with its weight store. The quickstart script and the tests run them.
 */
@NullMarked
package org.zinniatack.standin;

import org.jspecify.annotations.NullMarked;
