package org.plantainknot.daemon.tls;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PfxOptions;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Optional;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLException;
import javax.net.ssl.TrustManagerFactory;
import org.plantainknot.core.error.ErrorCode;
import org.plantainknot.core.error.PlantainknotException;
import org.plantainknot.daemon.settings.DaemonSettings;
import org.plantainknot.daemon.settings.SettingKey;

/** Key store and trust store of a daemon, both PKCS #12 (RFC 7292) with the same password. */
public final class TlsKeys {

  private static final String KEY_STORE_TYPE = "PKCS12";

  private final Path keyStore;
  private final Path trustStore;
  private final char[] password;

  private TlsKeys(Path keyStore, Path trustStore, char[] password) {
    this.keyStore = keyStore;
    this.trustStore = trustStore;
    this.password = password.clone();
  }

  /** Returns the keys given in the settings, or empty if TLS is off. */
  public static Optional<TlsKeys> of(DaemonSettings settings) {
    String keyStore = settings.text(SettingKey.TLS_KEY_STORE);
    if (keyStore.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new TlsKeys(
            Path.of(keyStore),
            Path.of(settings.text(SettingKey.TLS_TRUST_STORE)),
            settings.text(SettingKey.TLS_PASSWORD).toCharArray()));
  }

  /** Returns the server context for links, which requires a trusted certificate of the peer. */
  public SslContext serverContext() {
    try {
      return SslContextBuilder.forServer(keyManagers())
          .trustManager(trustManagers())
          .clientAuth(ClientAuth.REQUIRE)
          .build();
    } catch (SSLException e) {
      throw unusable(e);
    }
  }

  /** Returns the client context for links, which presents this member's certificate. */
  public SslContext clientContext() {
    try {
      return SslContextBuilder.forClient()
          .keyManager(keyManagers())
          .trustManager(trustManagers())
          .endpointIdentificationAlgorithm(null)
          .build();
    } catch (SSLException e) {
      throw unusable(e);
    }
  }

  /** Enables TLS in the options of an HTTP server. */
  public void applyTo(HttpServerOptions options) {
    options
        .setSsl(true)
        .setKeyCertOptions(
            new PfxOptions().setPath(keyStore.toString()).setPassword(new String(password)));
  }

  private KeyManagerFactory keyManagers() {
    try {
      KeyManagerFactory factory =
          KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
      factory.init(load(keyStore), password);
      return factory;
    } catch (GeneralSecurityException e) {
      throw unusable(e);
    }
  }

  private TrustManagerFactory trustManagers() {
    try {
      TrustManagerFactory factory =
          TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
      factory.init(load(trustStore));
      return factory;
    } catch (GeneralSecurityException e) {
      throw unusable(e);
    }
  }

  private KeyStore load(Path path) {
    try (InputStream in = Files.newInputStream(path)) {
      KeyStore store = KeyStore.getInstance(KEY_STORE_TYPE);
      store.load(in, password);
      return store;
    } catch (IOException | GeneralSecurityException e) {
      throw unusable(e);
    }
  }

  private static PlantainknotException unusable(Exception cause) {
    return new PlantainknotException(
        ErrorCode.INVALID_INPUT,
        "[tls] the key or trust store can't be used: " + cause.getMessage());
  }
}
