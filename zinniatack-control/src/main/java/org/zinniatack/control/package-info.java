/**
 * The control role: a replica of the system's state, the operators' interface, the feed
 * of entries and, on the leader, orders, weight rollouts and usage reports.
 */
@NullMarked
package org.zinniatack.control;

import org.jspecify.annotations.NullMarked;
