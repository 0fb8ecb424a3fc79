package org.zinniatack.core.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;

/**
 * A SHA-256 digest, which identifies a key or a request in records, logs and messages
 * without revealing it.
 *
 * @param hex the digest as 64 lower-case hexadecimal digits
 */
public record Sha256Digest(String hex) {

	private static final int HEX_LENGTH = 64;

	private static final int ABBREVIATED_LENGTH = 12;

	/**
	 * Checks that the argument is a digest.
	 */
	public Sha256Digest {
		Objects.requireNonNull(hex, "hex");
		if (!isValid(hex)) {
			throw new IllegalArgumentException("hex must be 64 lower-case hexadecimal digits");
		}
	}

	/**
	 * Returns whether a string is a digest.
	 * @param hex the string
	 * @return true if the string is 64 lower-case hexadecimal digits
	 */
	public static boolean isValid(String hex) {
		return hex.length() == HEX_LENGTH
				&& hex.chars().allMatch((c) -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'));
	}

	/**
	 * Returns the digest of a string's UTF-8 bytes.
	 * @param secret the string
	 * @return the digest of the string
	 */
	public static Sha256Digest of(String secret) {
		return of(secret.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the digest of bytes.
	 * @param bytes the bytes
	 * @return the digest of the bytes
	 */
	public static Sha256Digest of(byte[] bytes) {
		try {
			return new Sha256Digest(HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is part of every Java runtime", ex);
		}
	}

	/**
	 * Compares the digest of a presented secret with this one in constant time.
	 * @param secret the presented secret
	 * @return true if the digests are equal
	 */
	public boolean matches(String secret) {
		return MessageDigest.isEqual(this.hex.getBytes(StandardCharsets.US_ASCII),
				of(secret).hex.getBytes(StandardCharsets.US_ASCII));
	}

	/**
	 * Returns a shortened form for logs and dumps.
	 * @return the first 12 hexadecimal digits
	 */
	public String abbreviated() {
		return this.hex.substring(0, ABBREVIATED_LENGTH);
	}

}
