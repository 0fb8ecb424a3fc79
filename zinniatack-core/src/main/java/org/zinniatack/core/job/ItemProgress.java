package org.zinniatack.core.job;

/**
 * Output events of an item since its progress was last stored.
 *
 * @param itemId the id of the item
 * @param eventsBefore the number of events stored so far, 0 to discard them and start
 * over
 * @param further the new events
 */
public record ItemProgress(String itemId, int eventsBefore, PartialText further) {
}
