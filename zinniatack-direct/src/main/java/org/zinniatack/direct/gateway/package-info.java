/**
 * The entry role where targets have no agents.
 */
@NullMarked
package org.zinniatack.direct.gateway;

import org.jspecify.annotations.NullMarked;
