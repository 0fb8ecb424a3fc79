package org.zinniatack.core.presence;

/**
 * How far a copy of a table has come.
 *
 * @param incarnation the id of the table, new at each start of its process, empty for a
 * copy that has nothing
 * @param number the number of the newest change that the copy has
 */
public record TableVersion(String incarnation, long number) {

	/** The version of a copy that has nothing. */
	public static final TableVersion NONE = new TableVersion("", 0);

}
