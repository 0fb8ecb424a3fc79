/**
 * Queues that decide the order in which waiting requests are sent to targets.
 */
@NullMarked
package org.zinniatack.core.queue;

import org.jspecify.annotations.NullMarked;
