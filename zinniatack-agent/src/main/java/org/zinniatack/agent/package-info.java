/**
 * The agent role: the process beside each target. It announces the target, runs requests
 * on it, reports its load, and carries out orders that carry no older epoch than one
 * already seen.
 */
@NullMarked
package org.zinniatack.agent;

import org.jspecify.annotations.NullMarked;
