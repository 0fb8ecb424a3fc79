package org.zinniatack.gateway.call;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Objects;

import org.zinniatack.core.key.Sha256Digest;

/**
 * Identifies a request by customer, method, path with query and body, whatever its id.
 * The digest begins with a cheap hash of all but the bytes of the body, by which most
 * requests are told apart without a digest.
 */
public final class CallDigest {

	private static final int HASH_DIGITS = 8;

	private static final int FINGERPRINT_DIGITS = 16;

	private CallDigest() {
	}

	/**
	 * Returns the digest of a request.
	 * @param call the call
	 * @return 64 hexadecimal digits
	 */
	public static String of(Call call) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream(call.body().length + call.uri().length() + 64);
		String head = customerOf(call) + '\0' + call.method().name() + '\0' + call.uri() + '\0';
		bytes.writeBytes(head.getBytes(StandardCharsets.UTF_8));
		bytes.writeBytes(call.body());
		return HexFormat.of().toHexDigits(hashOf(call))
				+ Sha256Digest.of(bytes.toByteArray()).hex().substring(HASH_DIGITS);
	}

	/**
	 * Returns the cheap hash of a request.
	 * @param call the call
	 * @return the hash with which its digest begins
	 */
	public static int hashOf(Call call) {
		int hash = customerOf(call).hashCode();
		hash = 31 * hash + call.method().name().hashCode();
		hash = 31 * hash + call.uri().hashCode();
		return 31 * hash + call.body().length;
	}

	/**
	 * Returns the hash with which a digest begins.
	 * @param digest the digest
	 * @return the hash
	 */
	public static int hashOf(String digest) {
		return HexFormat.fromHexDigits(digest.substring(0, HASH_DIGITS));
	}

	/**
	 * Returns a shortened form for logs.
	 * @param digest the digest
	 * @return its first 16 digits
	 */
	public static String abbreviated(String digest) {
		return digest.substring(0, FINGERPRINT_DIGITS);
	}

	private static String customerOf(Call call) {
		return Objects.requireNonNullElse(call.customer(), "");
	}

}
