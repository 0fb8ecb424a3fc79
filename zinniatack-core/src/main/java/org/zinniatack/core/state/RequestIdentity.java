package org.zinniatack.core.state;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

import org.zinniatack.core.key.Sha256Digest;

/**
 * Says what makes two requests the same: method, host, path with query, and body, as the
 * caller sent them. The customer and the route are no part of it, since a change of the
 * configuration may replace either, and neither is the key, which a caller may replace. A
 * second digest tells the callers of the same request apart; it holds the caller's key,
 * which stays when the configuration gives the key to another customer.
 */
public final class RequestIdentity {

	private static final int HASH_DIGITS = 8;

	private static final int DIGEST_DIGITS = 64;

	private static final int KEY_DIGITS = 16;

	private static final int ABBREVIATED_DIGITS = 16;

	private final String method;

	private final String host;

	private final String uri;

	private final byte[] body;

	private final @Nullable Sha256Digest key;

	/** Computed when first needed: most requests are told apart by their hash. */
	private @Nullable String digest;

	private RequestIdentity(String method, String host, String uri, byte[] body, @Nullable Sha256Digest key) {
		this.method = method;
		this.host = withoutPort(host).toLowerCase(Locale.ROOT);
		this.uri = uri;
		this.body = body;
		this.key = key;
	}

	/**
	 * Returns the identity of a request.
	 * @param method the HTTP method
	 * @param host the value of the Host header, or an empty string without one
	 * @param uri the path with its query
	 * @param body the body, which must not change afterwards
	 * @param key the digest of the caller's key, or null for a request without a key
	 * @return the identity
	 */
	public static RequestIdentity of(String method, String host, String uri, byte[] body, @Nullable Sha256Digest key) {
		return new RequestIdentity(method, host, uri, body, key);
	}

	private static String withoutPort(String host) {
		int colon = host.indexOf(':');
		return (colon < 0) ? host : host.substring(0, colon);
	}

	/**
	 * Returns a hash that is cheap to compute, since it leaves out the bytes of the body.
	 * @return the hash with which the digests begin
	 */
	public int hash() {
		int hash = this.method.hashCode();
		hash = 31 * hash + this.host.hashCode();
		hash = 31 * hash + this.uri.hashCode();
		return 31 * hash + this.body.length;
	}

	/**
	 * Returns the digest of the request, whoever sends it.
	 * @return 64 hexadecimal digits
	 */
	public String digest() {
		String computed = this.digest;
		if (computed == null) {
			MessageDigest sha = sha256();
			sha.update((this.method + '\0' + this.host + '\0' + this.uri + '\0').getBytes(StandardCharsets.UTF_8));
			String rest = HexFormat.of().formatHex(sha.digest(this.body)).substring(HASH_DIGITS);
			computed = HexFormat.of().toHexDigits(hash()) + rest;
			this.digest = computed;
		}
		return computed;
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is part of every Java runtime", ex);
		}
	}

	/**
	 * Returns the digest of the request together with its caller.
	 * @return the digest of the request and 16 digits of that of the key, or empty for a
	 * request without a key
	 */
	public Optional<String> callerDigest() {
		return Optional.ofNullable(this.key).map((present) -> digest() + '-' + present.hex().substring(0, KEY_DIGITS));
	}

	/**
	 * Returns the digests under which the request is known.
	 * @return the digest of the request, and that with its caller if there is one
	 */
	public List<String> digests() {
		return callerDigest().map((ofCaller) -> List.of(digest(), ofCaller)).orElseGet(() -> List.of(digest()));
	}

	/**
	 * Returns the hash with which a digest begins.
	 * @param digest the digest, with or without a caller
	 * @return the hash
	 */
	public static int hashOf(String digest) {
		return HexFormat.fromHexDigits(digest.substring(0, HASH_DIGITS));
	}

	/**
	 * Returns the part of a digest that is the same for all callers.
	 * @param digest the digest, with or without a caller
	 * @return the digest of the request
	 */
	public static String withoutCaller(String digest) {
		return digest.substring(0, Math.min(DIGEST_DIGITS, digest.length()));
	}

	/**
	 * Returns a shortened form for logs.
	 * @param digest the digest, with or without a caller
	 * @return its first 16 digits, and 8 of the caller
	 */
	public static String abbreviated(String digest) {
		String caller = digest.substring(withoutCaller(digest).length());
		return digest.substring(0, Math.min(ABBREVIATED_DIGITS, digest.length()))
				+ caller.substring(0, Math.min(caller.length(), HASH_DIGITS + 1));
	}

}
