/**
 * The control process: a replica of the system's state, the HTTP interface for operators,
 * the feeds to entries and, on the leader, target orders, weight rollouts and usage
 * reports.
 */
@NullMarked
package org.zinniatack.control;

import org.jspecify.annotations.NullMarked;
