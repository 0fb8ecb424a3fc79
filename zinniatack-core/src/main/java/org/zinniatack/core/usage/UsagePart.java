package org.zinniatack.core.usage;

import java.util.List;

/**
 * The part of a report of use that one witness holds. The report's source tells the
 * witness of each use at once and reports it later; the witness reports its part only if
 * the source seems lost.
 *
 * @param source the id of the process that counts the use, new at each of its starts
 * @param sequence the number of the report that the part belongs to, rising by source
 * @param part the id of the part, the same only when it is sent again
 * @param windowStartMs the start of the window of use, in milliseconds since the epoch
 * @param figures the figures
 */
public record UsagePart(String source, long sequence, String part, long windowStartMs, List<UsageFigure> figures) {
}
