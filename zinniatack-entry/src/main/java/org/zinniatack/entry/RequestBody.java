package org.zinniatack.entry;

/**
 * Creates the body of a request for each attempt.
 */
interface RequestBody {

	/** Returns a body that is the same for all attempts. */
	static RequestBody fixed(byte[] bytes) {
		return (progress) -> bytes;
	}

	/** Returns the body of an attempt that resumes after the given progress. */
	byte[] bytes(AnswerProgress progress);

}
