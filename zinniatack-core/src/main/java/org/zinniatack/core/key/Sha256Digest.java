package org.zinniatack.core.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;

/**
 * The SHA-256 digest of a key or of a request, which stands for it in records, logs and
 * messages.
 *
 * @param hex the digest as 64 lower-case hexadecimal digits
 */
public record Sha256Digest(String hex) {

	private static final int HEX_LENGTH = 64;

	private static final int SHORT_LENGTH = 12;

	/**
	 * Checks the argument.
	 */
	public Sha256Digest {
		Objects.requireNonNull(hex, "hex");
		if (!isValid(hex)) {
			throw new IllegalArgumentException("hex must be 64 lower-case hexadecimal digits");
		}
	}

	/**
	 * Returns whether a text is a digest.
	 * @param hex the text
	 * @return true if it is 64 lower-case hexadecimal digits
	 */
	public static boolean isValid(String hex) {
		return hex.length() == HEX_LENGTH
				&& hex.chars().allMatch((c) -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'));
	}

	/**
	 * Returns the digest of a secret text.
	 * @param secret the text
	 * @return its digest
	 */
	public static Sha256Digest of(String secret) {
		return of(secret.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the digest of some bytes.
	 * @param bytes the bytes
	 * @return their digest
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
	 * Returns whether a presented secret has this digest, in constant time.
	 * @param secret the presented secret
	 * @return true if it matches
	 */
	public boolean matches(String secret) {
		return MessageDigest.isEqual(this.hex.getBytes(StandardCharsets.US_ASCII),
				of(secret).hex.getBytes(StandardCharsets.US_ASCII));
	}

	/**
	 * Returns a prefix for logs and dumps.
	 * @return the first 12 digits
	 */
	public String abbreviated() {
		return this.hex.substring(0, SHORT_LENGTH);
	}

}
