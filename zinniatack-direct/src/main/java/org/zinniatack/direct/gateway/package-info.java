/**
 * The gateway: an entry process that sends requests directly to targets, without agents.
 */
@NullMarked
package org.zinniatack.direct.gateway;

import org.jspecify.annotations.NullMarked;
