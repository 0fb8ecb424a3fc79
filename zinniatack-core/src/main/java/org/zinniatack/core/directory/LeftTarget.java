package org.zinniatack.core.directory;

/**
 * A target that said that it leaves. This start of it accepts no requests any more,
 * whatever arrives late.
 *
 * @param id the id of the target
 * @param bornMs the start time of the target, in milliseconds since the epoch
 * @param leftAtMs when it said so, in milliseconds since the epoch
 */
public record LeftTarget(String id, long bornMs, long leftAtMs) {

	/**
	 * Returns what identifies one start of a target.
	 * @param id the id of the target
	 * @param bornMs its start time, in milliseconds since the epoch
	 * @return the key
	 */
	public static String keyOf(String id, long bornMs) {
		return id + '@' + bornMs;
	}

	/**
	 * Returns what identifies this start of the target.
	 * @return the key
	 */
	public String key() {
		return keyOf(this.id, this.bornMs);
	}

}
