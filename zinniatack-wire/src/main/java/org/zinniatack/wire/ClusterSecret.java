package org.zinniatack.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HexFormat;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret that all processes of one system share. It proves membership in the
 * handshake and never leaves the process.
 */
public final class ClusterSecret {

	private static final String ALGORITHM = "HmacSHA256";

	private static final int NONCE_BYTES = 16;

	private static final int SHORTEST_SECRET = 16;

	private static final SecureRandom RANDOM = new SecureRandom();

	private final SecretKeySpec key;

	private ClusterSecret(byte[] secret) {
		this.key = new SecretKeySpec(secret, ALGORITHM);
	}

	/**
	 * Returns the secret of a text.
	 * @param secret at least 16 characters
	 * @return the secret
	 */
	public static ClusterSecret of(String secret) {
		if (secret.length() < SHORTEST_SECRET) {
			throw new IllegalArgumentException("secret must have at least 16 characters");
		}
		return new ClusterSecret(secret.getBytes(StandardCharsets.UTF_8));
	}

	static String nonce() {
		byte[] bytes = new byte[NONCE_BYTES];
		RANDOM.nextBytes(bytes);
		return HexFormat.of().formatHex(bytes);
	}

	/** Returns the proof of one side over both nonces and the node id. */
	String proof(String side, String nodeId, String openerNonce, String acceptorNonce) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.key);
			String text = side + '|' + nodeId + '|' + openerNonce + '|' + acceptorNonce;
			return HexFormat.of().formatHex(mac.doFinal(text.getBytes(StandardCharsets.UTF_8)));
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("HmacSHA256 is part of every Java runtime", ex);
		}
	}

	static boolean sameProof(String first, String second) {
		return MessageDigest.isEqual(first.getBytes(StandardCharsets.UTF_8), second.getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public String toString() {
		return "ClusterSecret";
	}

}
