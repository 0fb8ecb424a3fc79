package org.zinniatack.core.presence;

/**
 * The version of a table that a copy holds.
 *
 * @param incarnation the id of the table, new at each start of its process, empty for an
 * empty copy
 * @param number the number of the newest change in the copy
 */
public record TableVersion(String incarnation, long number) {

	/** The version of an empty copy. */
	public static final TableVersion NONE = new TableVersion("", 0);

}
