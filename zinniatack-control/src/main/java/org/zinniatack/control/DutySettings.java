package org.zinniatack.control;

import java.util.List;

/**
 * What the duties of the process in charge depend on.
 *
 * @param failureDomains the failure domains in which targets may be ordered
 * @param usageWindowMs the length of a usage window, in milliseconds
 * @param usageGraceMs the time after which a window is closed, in milliseconds
 * @param shrinkDelayMs the time for which load must be lower before targets are given
 * back, in milliseconds
 */
record DutySettings(List<String> failureDomains, long usageWindowMs, long usageGraceMs, long shrinkDelayMs) {
}
