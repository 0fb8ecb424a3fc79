package org.zinniatack.core.size;

import java.util.Collection;

import org.jspecify.annotations.Nullable;

/**
 * Estimates the heap that values take, for a virtual machine with compressed references.
 */
public final class HeapSize {

	/** The header and fields of a small object, with its reference. */
	public static final long OBJECT_BYTES = 32;

	/** An entry of a hash map, with its part of the table. */
	public static final long MAP_ENTRY_BYTES = 40;

	private static final long ARRAY_BYTES = 16;

	private static final int MAX_LATIN1 = 0xFF;

	private HeapSize() {
	}

	/**
	 * Returns the heap of a text.
	 * @param text the text, null in what earlier versions stored without it
	 * @return the size, in bytes
	 */
	public static long of(@Nullable String text) {
		if (text == null) {
			return 0;
		}
		long perCharacter = text.chars().anyMatch((character) -> character > MAX_LATIN1) ? Character.BYTES : 1;
		return OBJECT_BYTES + ARRAY_BYTES + perCharacter * text.length();
	}

	/**
	 * Returns the heap of an array.
	 * @param bytes the array, null in what earlier versions stored without it
	 * @return the size, in bytes
	 */
	public static long of(byte @Nullable [] bytes) {
		return (bytes != null) ? ARRAY_BYTES + bytes.length : 0;
	}

	/**
	 * Returns the heap of several texts.
	 * @param texts the texts
	 * @return the size, in bytes
	 */
	public static long of(Collection<String> texts) {
		return texts.stream().mapToLong(HeapSize::of).sum();
	}

}
