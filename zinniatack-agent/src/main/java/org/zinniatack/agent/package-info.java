/**
 * The agent role: a process beside each target. It announces the target to entries, runs
 * requests on it, reports its load, and executes orders unless their epoch is older than
 * the newest one seen.
 */
@NullMarked
package org.zinniatack.agent;

import org.jspecify.annotations.NullMarked;
