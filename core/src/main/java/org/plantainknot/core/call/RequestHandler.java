package org.plantainknot.core.call;

import java.util.concurrent.CompletionStage;

/** Handler of requests, which either answers them locally or forwards them. */
public interface RequestHandler {

  /**
   * Handles a request.
   *
   * @param request request to handle
   * @param timeoutMillis time after which the caller stops waiting for the reply
   * @return stage that completes with the reply, never exceptionally
   */
  CompletionStage<Reply> handle(Request request, long timeoutMillis);
}
