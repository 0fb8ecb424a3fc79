package org.zinniatack.control;

import java.util.List;

/**
 * Settings of the tasks of the leader.
 *
 * @param failureDomains the failure domains over which ordered targets are spread
 * @param usageWindowMs the length of a usage window, in milliseconds
 * @param usageGraceMs the time between the end of a window and its closing, in
 * milliseconds
 * @param shrinkDelayMs the time for which load must be lower before fewer targets are
 * ordered, in milliseconds
 * @param dutyLeaseMs the time within which two processes must not take turns in sending
 * orders and reports, in milliseconds
 */
record DutySettings(List<String> failureDomains, long usageWindowMs, long usageGraceMs, long shrinkDelayMs,
		long dutyLeaseMs) {
}
