package org.zinniatack.core.usage;

import java.util.List;

/**
 * The part of a usage report that one backup holds. The source of the report sends each
 * use to a backup at once and reports it later itself. The backup reports its part only
 * if the source seems lost.
 *
 * @param source the id of the process that counts the usage, new each time it starts
 * @param sequence the number of the report that the part belongs to, increasing for each
 * source
 * @param part the id of the part, which stays the same when the part is sent again
 * @param windowStartMs the start of the usage window, in milliseconds since the epoch
 * @param figures the figures
 */
public record UsagePart(String source, long sequence, String part, long windowStartMs, List<UsageFigure> figures) {
}
