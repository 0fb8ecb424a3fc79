package org.zinniatack.entry;

/**
 * The body of a request for its next attempt.
 */
interface RequestBody {

	/** Returns a body that is the same for each attempt. */
	static RequestBody fixed(byte[] bytes) {
		return (progress) -> bytes;
	}

	/** Returns the bytes of an attempt that continues what has arrived. */
	byte[] bytes(AnswerProgress progress);

}
