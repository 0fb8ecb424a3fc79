package org.zinniatack.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HexFormat;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret shared by all processes of a system. Each side of a handshake proves that it
 * holds the secret with an HMAC; the secret itself is never sent.
 */
public final class ClusterSecret {

	private static final String ALGORITHM = "HmacSHA256";

	private static final int NONCE_BYTES = 16;

	private static final int MINIMUM_SECRET_LENGTH = 16;

	private static final SecureRandom RANDOM = new SecureRandom();

	private final SecretKeySpec key;

	private ClusterSecret(byte[] secret) {
		this.key = new SecretKeySpec(secret, ALGORITHM);
	}

	/**
	 * Creates a secret from its text.
	 * @param secret the text, at least 16 characters
	 * @return the secret
	 */
	public static ClusterSecret of(String secret) {
		if (secret.length() < MINIMUM_SECRET_LENGTH) {
			throw new IllegalArgumentException("the cluster secret must have at least 16 characters");
		}
		return new ClusterSecret(secret.getBytes(StandardCharsets.UTF_8));
	}

	static String nonce() {
		byte[] bytes = new byte[NONCE_BYTES];
		RANDOM.nextBytes(bytes);
		return HexFormat.of().formatHex(bytes);
	}

	/**
	 * Returns the HMAC over the side, its node id and both nonces, in hexadecimal.
	 */
	String proof(String side, String nodeId, String openerNonce, String acceptorNonce) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.key);
			String text = side + '|' + nodeId + '|' + openerNonce + '|' + acceptorNonce;
			return HexFormat.of().formatHex(mac.doFinal(text.getBytes(StandardCharsets.UTF_8)));
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("HmacSHA256, which every Java runtime must support, is not available", ex);
		}
	}

	/** Compares two proofs in constant time. */
	static boolean proofsMatch(String first, String second) {
		return MessageDigest.isEqual(first.getBytes(StandardCharsets.UTF_8), second.getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public String toString() {
		return "ClusterSecret";
	}

}
