/* Publishing of a document.

   A document is checked, split into items and proposed as the successor of
   the revision that its author based it on.  If two authors publish on the
   same base, the order in the log decides, and the loser is answered with the
   winner's revision and author.

   Since the answer to an earlier attempt may have been lost, publishing again
   what the same author has already published on that base is answered as
   accepted.  */

#include <string.h>

#include "base/log.h"
#include "daemon/configuration_private.h"

typedef struct
{
  gp_list_t link; /* in gp_configuration_t.publications while unanswered */
  gp_configuration_t *configuration;
  uint64_t base;
  char *author;
  uint8_t digest[GP_CONFIG_DIGEST_SIZE];
  GPtrArray *issues; /* warnings */
  gp_time_t deadline;
  gp_proposal_t *proposal;
  gp_publish_done_t done; /* NULL once called */
  void *data;
} publication_t;

static const gp_config_t *
fold_config (const gp_configuration_t *configuration)
{
  return &gp_store_fold (configuration->store)->config;
}

/* Whether the current revision follows the base and is this publication.  */
static bool
is_published (const publication_t *publication)
{
  const gp_config_t *config = fold_config (publication->configuration);
  const gp_config_change_t *newest = gp_config_newest_change (config);

  return newest != NULL && config->revision == publication->base + 1
         && strcmp (newest->author, publication->author) == 0
         && memcmp (config->digest, publication->digest,
                    sizeof publication->digest)
                == 0;
}

static void
arm_timer (gp_configuration_t *configuration)
{
  gp_time_t at = GP_TIME_NEVER;

  GP_LIST_FOREACH (pos, &configuration->publications)
  at = MIN (at, GP_CONTAINER_OF (pos, publication_t, link)->deadline);
  gp_timer_arm (&configuration->timer, at);
}

static void
free_publication (publication_t *publication)
{
  g_free (publication->author);
  g_ptr_array_unref (publication->issues);
  g_free (publication);
}

static void
record_outcome (publication_t *publication, const gp_publish_answer_t *answer)
{
  gp_configuration_t *configuration = publication->configuration;
  bool accepted = answer->result == GP_PUBLISH_ACCEPTED;

  gp_configuration_record_event (configuration,
                                 accepted ? GP_TIMELINE_CONFIG_ACCEPTED
                                          : GP_TIMELINE_CONFIG_REFUSED,
                                 publication->base + 1);
  gp_log (GP_LOG_INFO,
          accepted ? "configuration.accepted" : "configuration.refused",
          GP_LOG_I ("revision", publication->base + 1),
          GP_LOG_S ("author", publication->author));
}

/* Answer, unless that has been done already.  The publication is not freed,
   since its record may still be undecided.  */
static void
answer (publication_t *publication, gp_publish_result_t result)
{
  gp_configuration_t *configuration = publication->configuration;
  gp_publish_answer_t reply
      = { .result = result, .issues = publication->issues };
  gp_publish_done_t done = publication->done;

  if (done == NULL)
    return;
  publication->done = NULL;
  gp_list_remove (&publication->link);
  arm_timer (configuration);
  if (result == GP_PUBLISH_ACCEPTED)
    reply.revision = publication->base + 1;
  else if (result == GP_PUBLISH_CONFLICT)
    {
      const gp_config_t *config = fold_config (configuration);
      const gp_config_change_t *newest = gp_config_newest_change (config);

      reply.revision = config->revision;
      reply.author = newest != NULL ? newest->author : "";
    }
  record_outcome (publication, &reply);
  done (&reply, publication->data);
}

static void
answer_invalid (publication_t *publication, const char *message)
{
  gp_issue_t issue = { .severity = GP_ISSUE_ERROR,
                       .path = (char *)"",
                       .message = (char *)message };

  gp_issues_add (publication->issues, &issue);
  answer (publication, GP_PUBLISH_INVALID);
}

static void
on_verdict (publication_t *publication, gp_fold_verdict_t verdict)
{
  if (verdict == GP_FOLD_ACCEPTED
      || (verdict == GP_FOLD_VOID_BASE && is_published (publication)))
    answer (publication, GP_PUBLISH_ACCEPTED);
  else if (verdict == GP_FOLD_VOID_BASE)
    answer (publication, GP_PUBLISH_CONFLICT);
  else
    answer_invalid (publication, "the log takes no such document");
}

/* The record is in the log but its verdict was not read: check the state.  */
static void
on_unread (publication_t *publication)
{
  if (is_published (publication))
    answer (publication, GP_PUBLISH_ACCEPTED);
  else
    answer (publication, GP_PUBLISH_UNKNOWN);
}

static void
on_proposed (gp_proposal_result_t result, gp_fold_verdict_t verdict,
             void *data)
{
  publication_t *publication = data;

  switch (result)
    {
    case GP_PROPOSAL_DECIDED:
      on_verdict (publication, verdict);
      break;
    case GP_PROPOSAL_EXPIRED:
      answer (publication, GP_PUBLISH_UNAVAILABLE);
      break;
    case GP_PROPOSAL_UNREAD:
      on_unread (publication);
      break;
    }
  free_publication (publication);
}

static void
on_deadline (publication_t *publication)
{
  gp_store_t *store = publication->configuration->store;

  if (gp_store_withdraw (store, publication->proposal))
    {
      answer (publication, GP_PUBLISH_UNAVAILABLE);
      free_publication (publication);
    }
  else
    answer (publication, GP_PUBLISH_UNKNOWN);
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_configuration_t *configuration = data;
  gp_time_t now = gp_loop_now (configuration->host->loop);

  GP_LIST_FOREACH_SAFE (pos, &configuration->publications)
  {
    publication_t *publication = GP_CONTAINER_OF (pos, publication_t, link);

    if (publication->deadline <= now)
      on_deadline (publication);
  }
  arm_timer (configuration);
}

void
gp_configuration_init_publications (gp_configuration_t *configuration)
{
  gp_list_init (&configuration->publications);
  gp_timer_init (&configuration->timer, configuration->host->loop, on_timer,
                 configuration);
}

void
gp_configuration_finish_publications (gp_configuration_t *configuration)
{
  GP_LIST_FOREACH_SAFE (pos, &configuration->publications)
  free_publication (GP_CONTAINER_OF (pos, publication_t, link));
  gp_list_init (&configuration->publications);
  gp_timer_finish (&configuration->timer);
}

/* Make record messages that point to the bytes of ITEMS.  */
static Gp__Record__ConfigItem **
record_items (const GPtrArray *items)
{
  g_autofree gp_config_item_t *list = gp_document_items_to_config (items);
  Gp__Record__ConfigItem **records
      = g_new (Gp__Record__ConfigItem *, items->len + 1);

  for (guint i = 0; i < items->len; i++)
    {
      records[i] = g_new (Gp__Record__ConfigItem, 1);
      gp__record__config_item__init (records[i]);
      records[i]->key = (char *)list[i].key;
      records[i]->value.data = (uint8_t *)list[i].value;
      records[i]->value.len = list[i].size;
    }
  records[items->len] = NULL;
  return records;
}

static gp_writer_result_t
propose (publication_t *publication, const GPtrArray *items, const char *text,
         size_t size, const char *comment)
{
  gp_configuration_t *configuration = publication->configuration;
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  Gp__Record__Config config = GP__RECORD__CONFIG__INIT;
  gp_writer_result_t result;

  config.revision = publication->base + 1;
  config.base_revision = publication->base;
  config.digest.data = publication->digest;
  config.digest.len = sizeof publication->digest;
  config.full = publication->base == 0;
  config.items = record_items (items);
  config.n_items = items->len;
  config.document.data = (uint8_t *)text;
  config.document.len = size;
  config.author = publication->author;
  config.comment = (char *)(comment != NULL ? comment : "");
  record.record_case = GP__RECORD__RECORD__RECORD_CONFIG;
  record.config = &config;
  result = gp_store_propose (configuration->store, &record, GP_WRITER_NORMAL,
                             publication->deadline, on_proposed, publication,
                             &publication->proposal);
  for (guint i = 0; i < items->len; i++)
    g_free (config.items[i]);
  g_free (config.items);
  return result;
}

/* Propose the difference between the current revision and ITEMS.  */
static void
publish_items (publication_t *publication, const GPtrArray *items,
               const char *text, size_t size, const char *comment)
{
  const gp_config_t *config = fold_config (publication->configuration);
  g_autoptr (GPtrArray) base = gp_configuration_list_items (config);
  g_autoptr (GPtrArray) delta = gp_document_items_diff (base, items);

  switch (propose (publication, delta, text, size, comment))
    {
    case GP_WRITER_QUEUED:
      arm_timer (publication->configuration);
      return;
    case GP_WRITER_TOO_LARGE:
      answer_invalid (publication, "the document is too large");
      break;
    case GP_WRITER_UNAVAILABLE:
    case GP_WRITER_FULL:
    case GP_WRITER_DEADLINE_PASSED:
      answer (publication, GP_PUBLISH_UNAVAILABLE);
      break;
    }
  free_publication (publication);
}

static void
answer_and_free (publication_t *publication, gp_publish_result_t result)
{
  answer (publication, result);
  free_publication (publication);
}

static void
set_digest (publication_t *publication, const GPtrArray *items)
{
  g_autofree gp_config_item_t *list = gp_document_items_to_config (items);

  gp_config_digest_items (list, items->len, publication->digest);
}

/* Check what cannot be checked without a process: that DOCUMENT belongs to
   this site, and that its time zone is known here.  */
static bool
check_site (publication_t *publication, const gp_document_t *document)
{
  const char *site = publication->configuration->host->self.site;
  g_autoptr (GTimeZone) zone = gp_document_time_zone (document);
  gp_issue_t issue = { .severity = GP_ISSUE_ERROR };

  if (strcmp (document->site, site) != 0)
    {
      issue.path = (char *)"site";
      issue.value = document->site;
      issue.message = (char *)"is not the site of this entry";
      issue.allowed = (char *)site;
      gp_issues_add (publication->issues, &issue);
      return false;
    }
  if (zone != NULL)
    return true;
  issue.path = (char *)"time_zone";
  issue.value = document->time_zone;
  issue.message = (char *)"is not in the entry's time zone database";
  gp_issues_add (publication->issues, &issue);
  return false;
}

void
gp_configuration_publish (gp_configuration_t *configuration, uint64_t base,
                          const char *author, const char *comment,
                          const char *text, size_t size, gp_time_t deadline,
                          gp_publish_done_t done, void *data)
{
  publication_t *publication = g_new0 (publication_t, 1);
  gp_document_t document;

  publication->configuration = configuration;
  publication->base = base;
  publication->author = g_strdup (author != NULL ? author : "");
  publication->issues = gp_issues_new ();
  publication->deadline = deadline;
  publication->done = done;
  publication->data = data;
  gp_list_push_back (&configuration->publications, &publication->link);
  if (!gp_document_load (&document, text, size, publication->issues))
    {
      answer_and_free (publication, GP_PUBLISH_INVALID);
      return;
    }
  set_digest (publication, document.items);
  if (!check_site (publication, &document))
    answer_and_free (publication, GP_PUBLISH_INVALID);
  else if (configuration->store == NULL
           || !gp_store_ready (configuration->store))
    answer_and_free (publication, GP_PUBLISH_UNAVAILABLE);
  else if (is_published (publication))
    answer_and_free (publication, GP_PUBLISH_ACCEPTED);
  else if (base != fold_config (configuration)->revision)
    answer_and_free (publication, GP_PUBLISH_CONFLICT);
  else
    publish_items (publication, document.items, text, size, comment);
  gp_document_finish (&document);
}
