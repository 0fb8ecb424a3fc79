/**
 * The protocol between the system's own processes: length-prefixed frames of MessagePack
 * over TCP, a handshake with the cluster secret, and exchanges of typed messages.
 */
@NullMarked
package org.zinniatack.wire;

import org.jspecify.annotations.NullMarked;
