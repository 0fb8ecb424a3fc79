package org.zinniatack.core.job;

/**
 * Events that an item has gained since its progress was last stored.
 *
 * @param itemId the id of the item
 * @param eventsBefore the number of events stored before, 0 to begin again
 * @param further the events that follow
 */
public record ItemProgress(String itemId, int eventsBefore, PartialText further) {
}
